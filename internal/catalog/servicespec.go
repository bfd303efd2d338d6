// Package catalog holds what operators configure: services, the kinds of
// request they take, their upstreams and their shard maps.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/foxtailshelf/foxtailshelf/internal/settings"
)

// A ServiceSpec is the document of one service, as operators write it.
type ServiceSpec struct {
	Name string `json:"name" validate:"required,kebab,max=64"`
	// Goal is what the service gives up last: "coverage" waits to the
	// deadline for every shard, "latency" answers when the rest is late.
	Goal string `json:"goal" validate:"required,oneof=coverage latency"`
	// MinReplicas is how many replicas of each shard must hold a version
	// before new queries are pinned to it.
	MinReplicas int `json:"min-replicas" validate:"min=1,max=16"`
	// Canary says when a request runs on one shard before the others.
	Canary    string         `json:"canary" validate:"required,oneof=always after-crash never"`
	Kinds     []KindSpec     `json:"kinds" validate:"required,min=1,max=64,unique=Name,dive"`
	Upstreams []UpstreamSpec `json:"upstreams" validate:"required,min=1,max=4096,unique=Name,dive"`
	ShardMaps []ShardMapSpec `json:"maps" validate:"required,min=1,max=8,unique=Name,dive"`
}

// A KindSpec is one kind of request.
type KindSpec struct {
	Name       string `json:"name" validate:"required,kebab,max=64"`
	Urgency    string `json:"urgency" validate:"required,oneof=urgent prompt ordinary background"`
	Idempotent bool   `json:"idempotent"`
	// Scatter is "all" for every shard or "key" for the shard of a key.
	Scatter string `json:"scatter" validate:"required,oneof=all key"`
	// DeadlineMilliseconds is used for requests that name none.
	DeadlineMilliseconds int `json:"deadline-milliseconds" validate:"min=1,max=600000"`
}

// An UpstreamSpec is one server that holds replicas.
type UpstreamSpec struct {
	Name       string `json:"name" validate:"required,kebab,max=64"`
	Address    string `json:"address" validate:"required,hostname_port"`
	DataCenter string `json:"data-center" validate:"required,kebab,max=64"`
	Slots      int    `json:"slots" validate:"min=1,max=1024"`
	// Connections is the upstream's limit; some are kept for cancellations.
	Connections int `json:"connections" validate:"min=4,max=65536"`
	// Drain is set by operators before they take the upstream away.
	Drain bool `json:"drain,omitempty"`
}

// A ShardMapSpec is one partition of the indexes into shards.
type ShardMapSpec struct {
	Name   string      `json:"name" validate:"required,kebab,max=64"`
	Shards []ShardSpec `json:"shards" validate:"required,min=1,max=1024,unique=Name,dive"`
}

// A ShardSpec is one part of the indexes and the upstreams that hold it.
type ShardSpec struct {
	Name      string   `json:"name" validate:"required,kebab,max=64"`
	Weight    int      `json:"weight" validate:"min=1,max=1000000"`
	Upstreams []string `json:"upstreams" validate:"required,min=1,max=16,unique"`
}

// A BundleSpec is a file that holds several services.
type BundleSpec struct {
	Services []ServiceSpec `json:"services" validate:"required,min=1,unique=Name,dive"`
}

// ParseBundle reads and checks a bundle.
func ParseBundle(file string, data []byte) ([]*Service, error) {
	var bundle BundleSpec
	if err := settings.Decode(file, data, &bundle); err != nil {
		return nil, err
	}
	var services []*Service
	var faults []error
	for i := range bundle.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		faults = append(faults, checkReferences(file, data, prefix, &bundle.Services[i]))
		services = append(services, compile(bundle.Services[i]))
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return services, nil
}

// ParseService reads and checks the document of one service.
func ParseService(file string, data []byte) (*Service, error) {
	var spec ServiceSpec
	if err := settings.Decode(file, data, &spec); err != nil {
		return nil, err
	}
	if err := checkReferences(file, data, "", &spec); err != nil {
		return nil, err
	}
	return compile(spec), nil
}

// CompileService checks a spec that a program built.
func CompileService(spec ServiceSpec) (*Service, error) {
	data, err := json.MarshalIndent(spec, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode service %s: %w", spec.Name, err)
	}
	return ParseService(spec.Name, data)
}

func checkReferences(file string, data []byte, prefix string, spec *ServiceSpec) error {
	known := make(map[string]bool)
	for _, u := range spec.Upstreams {
		known[u.Name] = true
	}
	var faults []error
	for i, m := range spec.ShardMaps {
		for j, s := range m.Shards {
			for k, u := range s.Upstreams {
				if known[u] {
					continue
				}
				field := fmt.Sprintf("%smaps[%d].shards[%d].upstreams[%d]", prefix, i, j, k)
				faults = append(faults, settings.NewFieldError(file, data, field, fmt.Sprintf("%q is not an upstream of the service", u)))
			}
		}
	}
	return errors.Join(faults...)
}
