package lists

// Names of the lists, used as the file name in faults.
const (
	Plans        = "plans"
	Entitlements = "entitlements"
	State        = "state"
)

// plansDocument is the list of the workspaces with their plans and keys.
type plansDocument struct {
	Workspaces []workspaceEntry `toml:"workspace"`
}

type workspaceEntry struct {
	ID        string   `toml:"id"`
	Plan      string   `toml:"plan"`
	KeyHashes []string `toml:"keys"` // SHA-256 of each bearer key: "sha256:" and 64 hex digits
}

// entitlementsDocument is the list of the models, services and limits of each plan.
type entitlementsDocument struct {
	Plans []planEntry `toml:"plan"`
}

type planEntry struct {
	ID       string      `toml:"id"`
	Models   []string    `toml:"models"`
	Services []string    `toml:"services"`
	Priority uint8       `toml:"priority"`
	Limits   limitsEntry `toml:"limits"`
}

type limitsEntry struct {
	RequestsPerSecond float64 `toml:"requests_per_second"`
	TokensPerSecond   float64 `toml:"tokens_per_second"`
	Concurrent        int     `toml:"concurrent"`
}

// stateDocument is the list of the service state of data centres and endpoints.
type stateDocument struct {
	DataCentres []dataCentreEntry `toml:"data_centre"`
	Endpoints   []endpointEntry   `toml:"endpoint"`
}

type dataCentreEntry struct {
	ID        string `toml:"id"`
	Region    string `toml:"region"`
	InService *bool  `toml:"in_service"` // nil: in service
}

type endpointEntry struct {
	ID        string `toml:"id"`
	InService *bool  `toml:"in_service"` // nil: in service
}
