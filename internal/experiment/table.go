package experiment

// All returns every experiment, in the order in which they are listed.
func All() []Experiment {
	return []Experiment{
		choiceExperiment(),
		exposureExperiment(),
		placementExperiment(),
		overloadExperiment(),
		ordersExperiment(),
		faults(),
		overhead(),
		capacity(),
		stateExperiment(),
	}
}
