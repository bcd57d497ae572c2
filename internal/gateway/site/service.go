package site

import "time"

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Engine describes the model engine of the service; nil for a plain service.
	Engine *Engine
	// Scaling bounds the number of upstreams; nil if the number is fixed.
	Scaling *Scaling
}

// Engine describes a model engine.
type Engine struct {
	// Slots is the number of requests that run concurrently in one batch.
	Slots int
	// CacheTokens is the capacity, in tokens, of the memory for prompts and generated tokens.
	CacheTokens int
}

// Scaling bounds the upstreams of a service in each failure domain.
type Scaling struct {
	Min int
	Max int
	// BootTime is how long an upstream takes to start.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream as a fraction of the price of an
	// on-demand one.
	ReclaimablePrice float64
	// DomainPrices is the price of an on-demand upstream by failure domain.
	DomainPrices map[string]float64
}
