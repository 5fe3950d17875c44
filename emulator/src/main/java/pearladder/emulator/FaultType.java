package pearladder.emulator;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of faults that can be injected, with their names in scenarios. */
public enum FaultType {
    /** Workers run slower by a factor. */
    SLOWDOWN("slow"),
    /** Workers fail a share of their requests. */
    REQUEST_FAILURES("failing"),
    /** Workers' load reports are delayed by a duration. */
    LATE_REPORTS("late-reports"),
    /** Workers lose a share of their replies to load requests. */
    LOST_LOAD_REPLIES("losing"),
    /** Workers leak memory, in MB a second. */
    MEMORY_LEAK("leak"),
    /** A new release of models invalidates their instances and images. */
    MODEL_RELEASE("release"),
    /** Workers accept connections and read requests but never respond. */
    HANGING("hang"),
    /** Workers' responses name another model than the request. */
    MISNAMED_MODELS("misname"),
    /** Workers reset the connection in the middle of a response. */
    TRUNCATED_RESPONSES("garble"),
    /** Workers drain. */
    DRAIN("drain"),
    /** Workers' processes die. */
    KILL("kill"),
    /** Dead workers start again. */
    RESTART("restart"),
    /** Workers drain for a duration and are then replaced by new ones. */
    REPLACE("replace"),
    /** Workers' processes are paused; only in simulations. */
    PAUSE("pause"),
    /** No data passes from workers to routers; only in simulations. */
    RESPONSE_PATH_CUT("cut-back"),
    /** No data passes between routers and workers. */
    NETWORK_CUT("cable-cut"),
    /** New connections to workers are not accepted and hang. */
    NOT_ACCEPTING("cable-deaf"),
    /** Connections to workers are reset once. */
    CONNECTION_RESET("cable-reset"),
    /** The model store is slower by a factor. */
    MODEL_STORE_SLOWDOWN("shelf-slow"),
    /** The model store rejects every fetch. */
    MODEL_STORE_REJECTING("shelf-refuse"),
    /** The model store serves damaged images. */
    MODEL_STORE_DAMAGED("shelf-damage"),
    /** The discovery service sends no messages. */
    DISCOVERY_SILENT("list-silent"),
    /** The discovery service applies changes after a delay. */
    DISCOVERY_LAG("list-lag"),
    /** The discovery service hides workers from some routers. */
    DISCOVERY_SPLIT("list-split"),
    /** The discovery service's connections are reset once. */
    DISCOVERY_RESET("list-cut");

    private final String word;

    FaultType(String word) {
        this.word = word;
    }

    /** Returns the name of the fault in scenarios and fault commands. */
    public String word() {
        return word;
    }

    /** Returns the fault with this name in scenarios; empty if there is none. */
    public static Optional<FaultType> of(String word) {
        return Arrays.stream(values()).filter(type -> type.word.equals(word)).findFirst();
    }
}
