package bench

// Plan returns the runs of the whole bench, or of its short form.
func Plan(short bool, seeds int) []Task {
	if short {
		return tasks(Laoruum(), pickScenarios("calm", waveScenario, "poison", "all", "overload"), Systems(), 2)
	}
	out := tasks(Cascadia(), Scenarios(), Systems(), seeds)
	out = append(out, tasks(Laoruum(), Scenarios(), Systems(), seeds)...)
	out = append(out, tasks(Domain(), pickScenarios("calm", waveScenario, "all", "overload"), Systems(), 1)...)
	out = append(out, tasks(Cascadia(), pickScenarios("calm", waveScenario, "overload"), Variants(), seeds)...)
	return append(out, tasks(Laoruum(), pickScenarios("calm", waveScenario, "overload"), Variants(), seeds)...)
}

// CustomPlan returns the runs of the named shape, scenario and system; an empty name means
// all.
func CustomPlan(shape, scenario, system string, seeds int) []Task {
	var out []Task
	for _, s := range []Shape{Cascadia(), Laoruum(), Domain()} {
		if shape != "" && s.Name != shape {
			continue
		}
		scenarios := Scenarios()
		if scenario != "" {
			scenarios = pickScenarios(scenario)
		}
		out = append(out, tasks(s, scenarios, pickSystems(system), seeds)...)
	}
	return out
}

// tasks returns one run for each scenario, system and seed, at nominal load.
func tasks(shape Shape, scenarios []Scenario, systems []System, seeds int) []Task {
	var out []Task
	for _, scenario := range scenarios {
		for _, system := range systems {
			for seed := range seeds {
				out = append(out, Task{Shape: shape, Scenario: scenario, System: system, Seed: uint64(seed + 1), Load: NominalLoad})
			}
		}
	}
	return out
}

// pickScenarios returns the named scenarios, in the order of Scenarios.
func pickScenarios(names ...string) []Scenario {
	var out []Scenario
	for _, s := range Scenarios() {
		for _, name := range names {
			if s.Name == name {
				out = append(out, s)
			}
		}
	}
	return out
}

// pickSystems returns the named system or variant, or all systems if name is empty.
func pickSystems(name string) []System {
	if name == "" {
		return Systems()
	}
	for _, s := range append(Systems(), Variants()...) {
		if s.Name == name {
			return []System{s}
		}
	}
	return nil
}
