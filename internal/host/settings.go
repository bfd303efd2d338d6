package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
)

// Settings is the content of the settings file of a host.
type Settings struct {
	Host       string `json:"host" validate:"required,max=128"`
	DataCenter string `json:"data-center" validate:"required,max=64"`
	// CallerListen is the address for requests of callers, ReadyListen for the platform's
	// readiness checks, AddressListen for queries for the advertised addresses,
	// PeerListen for other hosts, OperationsListen for metrics, health and the timeline.
	CallerListen     string `json:"caller-listen" validate:"required,hostname_port"`
	ReadyListen      string `json:"ready-listen" validate:"required,hostname_port"`
	AddressListen    string `json:"address-listen" validate:"required,hostname_port"`
	PeerListen       string `json:"peer-listen" validate:"required,hostname_port"`
	OperationsListen string `json:"operations-listen" validate:"required,hostname_port"`
	// Peers are addresses of hosts to contact at the start; some may no longer exist.
	Peers []string `json:"peers" validate:"max=16,dive,hostname_port"`
	Store string   `json:"store" validate:"required,hostname_port"`
	// GraceSeconds is the time from the stop signal until the process is killed.
	GraceSeconds float64 `json:"grace-seconds" validate:"min=1,max=600"`
	// ExtraRatio and ExtraSlack bound the extra attempts (retries and hedges) of all hosts
	// together at one service: ExtraRatio for each request, plus ExtraSlack in any window.
	ExtraRatio float64 `json:"extra-ratio" validate:"min=0,max=1"`
	ExtraSlack float64 `json:"extra-slack" validate:"min=0,max=100000"`
	// ExtraWindowSeconds is the length of the windows for extra attempts.
	ExtraWindowSeconds float64 `json:"extra-window-seconds" validate:"min=0.1,max=3600"`
	// Requests of a client account in any window of AccountWindowSeconds may exceed its limit
	// by AccountTolerance times the limit, plus AccountSlack. The hosts use this margin for
	// requests that they have to decide alone; zero for none.
	AccountWindowSeconds float64 `json:"account-window-seconds" validate:"min=0,max=3600"`
	AccountTolerance     float64 `json:"account-tolerance" validate:"min=0,max=10"`
	AccountSlack         float64 `json:"account-slack" validate:"min=0,max=100000"`
	// MaxAddressTTLSeconds bounds how long callers may cache advertised addresses.
	MaxAddressTTLSeconds float64 `json:"most-address-seconds" validate:"min=0.1,max=600"`
	// CPUShare is the part of each core that the process may use, 0 to 1, LinkMegabits
	// the bandwidth of the host's network in Mbit/s. If one of them or Cores is missing,
	// the capacity of the host is unknown.
	CPUShare        float64 `json:"cpu-share" validate:"min=0,max=1"`
	Cores           float64 `json:"cores" validate:"min=0,max=1024"`
	LinkMegabits    float64 `json:"link-megabits" validate:"min=0,max=1000000"`
	LogLevel        string  `json:"log-level" validate:"required,oneof=debug info warning error"`
	MemoryMegabytes int     `json:"memory-megabytes" validate:"min=32,max=1048576"`
	// MaxDescriptors is how many descriptors the process may have, 200 of them for files; zero for the
	// limit that the system states.
	MaxDescriptors int `json:"max-descriptors" validate:"omitempty,min=256,max=10000000"`
}

const (
	// megabitsPerCore is the bandwidth in Mbit/s that the requests of one core use:
	// upstream responses are about 1.4 KB and take about 100 microseconds of CPU each.
	megabitsPerCore = 100.0
	// maxAddressTTL bounds how long callers may cache advertised addresses. Some
	// callers cache addresses three times as long, and a stopping host must not
	// stop accepting requests before these addresses have expired.
	maxAddressTTL     = 1500 * time.Millisecond
	addressTTLsCached = 3
)

// AddressTTL returns how long callers may cache the advertised addresses.
func (s Settings) AddressTTL() time.Duration {
	return min(maxAddressTTL, time.Duration(s.MaxAddressTTLSeconds*float64(time.Second)), shutdown.AcceptPeriod(s.Grace())/addressTTLsCached)
}

// Capacity returns the capacity of the host in thousandths of a core, limited by CPU or by
// network; zero if it is unknown.
func (s Settings) Capacity() int {
	const thousandths = 1000
	return int(thousandths * min(s.CPUShare*s.Cores, s.LinkMegabits/megabitsPerCore))
}

// Grace returns the time from the stop signal until the process is killed.
func (s Settings) Grace() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}
