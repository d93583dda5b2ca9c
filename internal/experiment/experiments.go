package experiment

// All returns all experiments in the order in which the command line lists them.
func All() []Experiment {
	return []Experiment{
		choiceExperiment(),
		exposureExperiment(),
		placementExperiment(),
		overloadExperiment(),
		ordersExperiment(),
		faultsExperiment(),
		overheadExperiment(),
		capacityExperiment(),
		stateExperiment(),
	}
}
