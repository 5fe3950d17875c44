package pearladder.testbed;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import pearladder.testbed.ScenarioPlan.Fault;
import pearladder.testbed.ScenarioPlan.FaultKind;

/**
 * A fault that starts and ends with the same command of the workers' control endpoint, with different values.
 *
 * @param command command name of the control endpoint
 * @param figure value that starts the fault
 * @param usual value that ends the fault
 */
record TimedFault(String command, Scope scope, ToDoubleFunction<Fault> figure, ToDoubleFunction<ScenarioPlan> usual) {
    /** Which workers a command affects. */
    enum Scope {
        /** The workers selected at random by the fault's share. */
        SELECTED,
        /** All workers in the fault's zone. */
        ZONE,
        /** No workers: the command affects the model store or the endpoint registry. */
        NONE
    }

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Map<FaultKind, TimedFault> BY_KIND = byKind();

    /** Returns the timed fault of a kind, or null if the kind is injected in another way. */
    static TimedFault of(FaultKind kind) {
        return BY_KIND.get(kind);
    }

    /** Returns the workers that the command affects. */
    List<String> workers(List<String> selected, List<String> zone) {
        return switch (scope) {
            case SELECTED -> selected;
            case ZONE -> zone;
            case NONE -> List.of();
        };
    }

    private static Map<FaultKind, TimedFault> byKind() {
        Map<FaultKind, TimedFault> faults = new EnumMap<>(FaultKind.class);
        faults.put(FaultKind.FAILING, new TimedFault("failing", Scope.SELECTED, Fault::probability, plan -> 0));
        faults.put(FaultKind.SLOW, new TimedFault("slow", Scope.SELECTED, Fault::factor, plan -> 1));
        faults.put(FaultKind.LOST_LOADS, new TimedFault("losing", Scope.SELECTED, Fault::probability, plan -> 0));
        faults.put(FaultKind.LEAK, new TimedFault("leak", Scope.SELECTED, Fault::factor, plan -> 0));
        faults.put(FaultKind.HANG, onOff("hang", Scope.SELECTED));
        faults.put(FaultKind.GARBLE, onOff("garble", Scope.SELECTED));
        faults.put(FaultKind.SLOW_HANDSHAKES, onOff("cable-deaf", Scope.SELECTED));
        faults.put(FaultKind.CUT, onOff("cable-cut", Scope.SELECTED));
        faults.put(FaultKind.WRONG_MODEL, onOff("misname", Scope.SELECTED));
        faults.put(FaultKind.ENGINES_PAUSED, onOff("pause", Scope.SELECTED));
        faults.put(FaultKind.ONE_WAY_CUT, onOff("cut-back", Scope.SELECTED));
        faults.put(
                FaultKind.LATE_REPORTS,
                new TimedFault("late-reports", Scope.ZONE, TimedFault::timesInMillis, plan -> 0));
        faults.put(FaultKind.SLOW_SHELF, new TimedFault("shelf-slow", Scope.NONE, Fault::factor, plan -> 1));
        faults.put(FaultKind.REFUSING_SHELF, onOff("shelf-refuse", Scope.NONE));
        faults.put(FaultKind.DAMAGED_IMAGES, onOff("shelf-damage", Scope.NONE));
        faults.put(FaultKind.LIST_SILENT, onOff("list-silent", Scope.NONE));
        faults.put(
                FaultKind.LIST_LAG,
                new TimedFault("list-lag", Scope.NONE, TimedFault::timesInMillis, TimedFault::registryLagMillis));
        return faults;
    }

    private static TimedFault onOff(String command, Scope scope) {
        return new TimedFault(command, scope, fault -> 1, plan -> 0);
    }

    private static double timesInMillis(Fault fault) {
        return fault.factor() * MILLIS_PER_SECOND;
    }

    private static double registryLagMillis(ScenarioPlan plan) {
        return plan.fleet().discoveryLagNanos() / NANOS_PER_MILLI;
    }
}
