package settings

// Platform holds the base URLs of the platform's services and the token for them.
type Platform struct {
	// ObjectsURL is the base URL of the object API. Required.
	ObjectsURL string `json:"objectsUrl"`
	// CloudURL is the base URL of the cloud API. Default: none; the node then starts and stops no hosts.
	CloudURL string `json:"cloudUrl"`
	// HostListURL is the base URL of the host list. Default: none.
	HostListURL string `json:"hostListUrl"`
	// WeightsURL is the base URL of the weight store. Default: none.
	WeightsURL string `json:"weightsUrl"`
	// Token is sent to the platform's services as a bearer token. Default: none.
	Token string `json:"token" secret:"true"`
}
