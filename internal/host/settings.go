package host

import "time"

// Settings is the settings file of a host.
type Settings struct {
	Host       string `json:"host" validate:"required,max=128"`
	DataCenter string `json:"data-center" validate:"required,max=64"`
	// CallerListen is where callers send requests, ReadyListen where the
	// platform asks whether this host is ready, AddressListen where callers ask
	// which hosts to use, PeerListen where other hosts connect.
	CallerListen     string `json:"caller-listen" validate:"required,hostname_port"`
	ReadyListen      string `json:"ready-listen" validate:"required,hostname_port"`
	AddressListen    string `json:"address-listen" validate:"required,hostname_port"`
	PeerListen       string `json:"peer-listen" validate:"required,hostname_port"`
	OperationsListen string `json:"operations-listen" validate:"required,hostname_port"`
	// Peers are addresses of some hosts, which may be gone.
	Peers []string `json:"peers" validate:"max=16,dive,hostname_port"`
	Store string   `json:"store" validate:"required,hostname_port"`
	// GraceSeconds is the time from the signal to stop to the kill.
	GraceSeconds float64 `json:"grace-seconds" validate:"min=1,max=600"`
	// ExtraRatio and ExtraSlack bound the extra attempts of all hosts at one
	// service: so many for each request, and so many besides in any window.
	ExtraRatio float64 `json:"extra-ratio" validate:"min=0,max=1"`
	ExtraSlack float64 `json:"extra-slack" validate:"min=0,max=100000"`
	// ExtraWindowSeconds is the length of the windows.
	ExtraWindowSeconds float64 `json:"extra-window-seconds" validate:"min=0.1,max=3600"`
	// MaxAddressTTLSeconds is the longest time for which callers keep addresses.
	MaxAddressTTLSeconds float64 `json:"most-address-seconds" validate:"min=0.1,max=600"`
	// CPUShare is the share of each core that the process may use, LinkMegabits
	// what the host's network carries in a second; without them the capacity is
	// unknown.
	CPUShare        float64 `json:"cpu-share" validate:"min=0,max=1"`
	Cores           float64 `json:"cores" validate:"min=0,max=1024"`
	LinkMegabits    float64 `json:"link-megabits" validate:"min=0,max=1000000"`
	LogLevel        string  `json:"log-level" validate:"required,oneof=debug info warning error"`
	MemoryMegabytes int     `json:"memory-megabytes" validate:"min=32,max=1048576"`
}

const (
	// finishTime is what is left of the grace to finish the last requests.
	finishTime = 1500 * time.Millisecond
	// minServeTime is the least time for which a stopping host goes on serving.
	minServeTime = 200 * time.Millisecond
	// megabitsPerCore is the network that one core of requests uses: answers of
	// upstreams of about 1.4 KB at about 100 microseconds each.
	megabitsPerCore = 100.0
	// addressTime is how long callers keep an answer to the question which
	// hosts to use; some keep it three times as long, which must end before a
	// host that stops is gone.
	addressTime = 1500 * time.Millisecond
)

// AddressTTL returns how long callers may keep the addresses.
func (s Settings) AddressTTL() time.Duration {
	return min(addressTime, time.Duration(s.MaxAddressTTLSeconds*float64(time.Second)))
}

// Capacity returns how much work the host can take, in thousandths of a core.
func (s Settings) Capacity() int {
	const thousandths = 1000
	return int(thousandths * min(s.CPUShare*s.Cores, s.LinkMegabits/megabitsPerCore))
}

// ShutdownDelay returns how long a stopping host goes on serving.
func (s Settings) ShutdownDelay() time.Duration {
	return max(minServeTime, time.Duration(s.GraceSeconds*float64(time.Second))-finishTime)
}
