// Package catalog defines the configuration that operators write: services with their
// kinds of requests, upstreams and shard maps.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/foxtailshelf/foxtailshelf/internal/settings"
)

// A ServiceSpec is the document of one service as written by operators.
type ServiceSpec struct {
	Name string `json:"name" validate:"required,kebab,max=64"`
	// Goal is "coverage" to wait for every shard until the deadline, or "latency" to
	// answer without the shards that are late.
	Goal string `json:"goal" validate:"required,oneof=coverage latency"`
	// MinReplicas is the number of replicas of each shard that must hold a version
	// before new queries are pinned to it.
	MinReplicas int `json:"min-replicas" validate:"min=1,max=16"`
	// Canary determines when a request runs on one shard before the others; see
	// CanaryPolicy.
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
	// Scatter is "all" to query every shard or "key" to query only the shard of the
	// request's key.
	Scatter string `json:"scatter" validate:"required,oneof=all key"`
	// DefaultTimeoutMilliseconds is the time limit of requests without a deadline.
	DefaultTimeoutMilliseconds int `json:"deadline-milliseconds" validate:"min=1,max=600000"`
}

// An UpstreamSpec is one server that holds replicas of shards.
type UpstreamSpec struct {
	Name       string `json:"name" validate:"required,kebab,max=64"`
	Address    string `json:"address" validate:"required,hostname_port"`
	DataCenter string `json:"data-center" validate:"required,kebab,max=64"`
	Slots      int    `json:"slots" validate:"min=1,max=1024"`
	// Connections is the maximum number of connections to the upstream. Some of them
	// are reserved for load reports and cancellations.
	Connections int `json:"connections" validate:"min=4,max=65536"`
	// Drain means that the upstream gets no new requests. Operators set it before
	// they remove the upstream.
	Drain bool `json:"drain,omitempty"`
}

// A ShardMapSpec is one way to partition the indexes into shards.
type ShardMapSpec struct {
	Name   string      `json:"name" validate:"required,kebab,max=64"`
	Shards []ShardSpec `json:"shards" validate:"required,min=1,max=1024,unique=Name,dive"`
}

// A ShardSpec is one part of the indexes with the upstreams that hold replicas of it.
type ShardSpec struct {
	Name      string   `json:"name" validate:"required,kebab,max=64"`
	Weight    int      `json:"weight" validate:"min=1,max=1000000"`
	Upstreams []string `json:"upstreams" validate:"required,min=1,max=16,unique"`
}

// A BundleSpec is the content of a file with one or more services.
type BundleSpec struct {
	Services []ServiceSpec `json:"services" validate:"required,min=1,unique=Name,dive"`
}

// ParseBundle parses and validates a bundle and returns its services.
func ParseBundle(file string, data []byte) ([]*Service, error) {
	var bundle BundleSpec
	if err := settings.Decode(file, data, &bundle); err != nil {
		return nil, err
	}
	var services []*Service
	var errs []error
	for i := range bundle.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		errs = append(errs, checkUpstreamReferences(file, data, prefix, &bundle.Services[i]))
		services = append(services, compile(bundle.Services[i]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return services, nil
}

// ParseService parses and validates the document of one service.
func ParseService(file string, data []byte) (*Service, error) {
	var spec ServiceSpec
	if err := settings.Decode(file, data, &spec); err != nil {
		return nil, err
	}
	if err := checkUpstreamReferences(file, data, "", &spec); err != nil {
		return nil, err
	}
	return compile(spec), nil
}

// CompileService validates a spec that was built in memory.
func CompileService(spec ServiceSpec) (*Service, error) {
	data, err := json.MarshalIndent(spec, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode service %s: %w", spec.Name, err)
	}
	return ParseService(spec.Name, data)
}

// checkUpstreamReferences checks that shards refer only to upstreams of their service.
func checkUpstreamReferences(file string, data []byte, prefix string, spec *ServiceSpec) error {
	exists := make(map[string]bool)
	for _, u := range spec.Upstreams {
		exists[u.Name] = true
	}
	var errs []error
	for i, m := range spec.ShardMaps {
		for j, s := range m.Shards {
			for k, u := range s.Upstreams {
				if exists[u] {
					continue
				}
				field := fmt.Sprintf("%smaps[%d].shards[%d].upstreams[%d]", prefix, i, j, k)
				errs = append(errs, settings.NewFieldError(file, data, field, fmt.Sprintf("%q is not an upstream of the service", u)))
			}
		}
	}
	return errors.Join(errs...)
}
