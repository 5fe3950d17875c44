package pearladder.emulator;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of faults that can be injected, with the words by which scenarios name them. */
public enum FaultType {
    /** Workers run slower by a factor. */
    SLOWDOWN("slow"),
    /** Workers fail a share of their requests. */
    REQUEST_FAILURES("failing"),
    /** Workers' load reports are late by a span. */
    LATE_REPORTS("late-reports"),
    /** Workers lose a share of their replies to load requests. */
    LOST_LOAD_REPLIES("losing"),
    /** Workers leak memory, in MB a second. */
    MEMORY_LEAK("leak"),
    /** A new release of models voids their instances and images. */
    MODEL_RELEASE("release"),
    /** Workers accept and read, and never respond. */
    HANGING("hang"),
    /** Workers respond for another model than they were asked for. */
    MISNAMED_MODELS("misname"),
    /** Workers break off their responses. */
    TRUNCATED_RESPONSES("garble"),
    /** Workers drain. */
    DRAIN("drain"),
    /** Workers' processes die. */
    KILL("kill"),
    /** Dead workers start again. */
    RESTART("restart"),
    /** Workers drain for a span and are replaced by new ones. */
    REPLACE("replace"),
    /** Workers' processes are paused; only in simulations. */
    PAUSE("pause"),
    /** Nothing comes back from workers; only in simulations. */
    RESPONSE_PATH_CUT("cut-back"),
    /** Nothing passes between routers and workers. */
    NETWORK_CUT("cable-cut"),
    /** New connections to workers wait for ever. */
    NOT_ACCEPTING("cable-deaf"),
    /** Connections to workers are reset once. */
    CONNECTION_RESET("cable-reset"),
    /** The model store is slower by a factor. */
    MODEL_STORE_SLOWDOWN("shelf-slow"),
    /** The model store rejects every fetch. */
    MODEL_STORE_REJECTING("shelf-refuse"),
    /** The model store serves damaged images. */
    MODEL_STORE_DAMAGED("shelf-damage"),
    /** The discovery service sends nothing. */
    DISCOVERY_SILENT("list-silent"),
    /** The discovery service learns of changes after a span. */
    DISCOVERY_LAG("list-lag"),
    /** The discovery service hides workers from some routers. */
    DISCOVERY_SPLIT("list-split"),
    /** The discovery service's connections are reset once. */
    DISCOVERY_RESET("list-cut");

    private final String word;

    FaultType(String word) {
        this.word = word;
    }

    /** The word by which scenarios and fault commands name it. */
    public String word() {
        return word;
    }

    /** The kind of fault of this word; empty where there is none. */
    public static Optional<FaultType> of(String word) {
        return Arrays.stream(values()).filter(type -> type.word.equals(word)).findFirst();
    }
}
