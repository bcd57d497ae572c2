package settings

// Platform says where the platform's services are. All are base URLs.
type Platform struct {
	// ObjectsURL is the object API. Required.
	ObjectsURL string `json:"objectsUrl"`
	// CloudURL is the cloud API. Default: none; the node then starts and stops no hosts.
	CloudURL string `json:"cloudUrl"`
	// HostListURL is the list of hosts. Default: none.
	HostListURL string `json:"hostListUrl"`
	// WeightsURL is the weight store. Default: none.
	WeightsURL string `json:"weightsUrl"`
	// Token is shown to the platform as a bearer token. Default: none.
	Token string `json:"token" secret:"true"`
}
