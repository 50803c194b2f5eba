package balance

// applySettings replaces the settings.
// Counts of a class that is removed, or whose index is used for another class, are dropped.
// All else that was learned is kept.
func (b *Balancer) applySettings(cfg *Config) {
	before := b.settings
	b.settings = cfg
	b.addClasses(max(0, len(cfg.Classes)-len(b.window.byClass)))
	for class := range cfg.Classes {
		wasRemoved := class >= len(before.Classes) || before.Classes[class].Removed
		if wasRemoved != cfg.Classes[class].Removed {
			b.window.resetClass(class)
			b.serviceTimes.byClass[class] = mean{}
		}
	}
	b.tenants.resize(cfg)
}

func (b *Balancer) addClasses(n int) {
	b.window.addClasses(n)
	b.serviceTimes.byClass = append(b.serviceTimes.byClass, make([]mean, n)...)
	for i := range b.zones {
		b.zones[i].inFlightByClass = append(b.zones[i].inFlightByClass, make([]int, n)...)
	}
}
