package pearladder.kserve;

/** The headers that carry what KServe v2 lacks. docs/protocol.md has the one table with units and directions. */
public final class Headers {
    // from a client
    public static final String ACCOUNT = "pearladder-account";
    public static final String CATEGORY = "pearladder-category";
    /** How long the client waits for this try, in milliseconds. */
    public static final String PATIENCE = "pearladder-patience-ms";

    public static final String MARK = "idempotency-key";
    /** What keeps together when versions shift: a document, a contract. */
    public static final String KEY = "pearladder-key";
    /** "1" where the client repeats a call it has sent before. */
    public static final String REPEAT = "pearladder-repeat";
    /** The work expected, in milliseconds on a standard core. */
    public static final String HINT = "pearladder-hint-ms";

    // to a client
    /** One of {@link FinalState}. */
    public static final String STATE = "pearladder-state";
    /** When to come back, in milliseconds; beside the published Retry-After in whole seconds. */
    public static final String RETRY_AFTER_MS = "pearladder-retry-after-ms";

    /** The model's version that the call got; absent where the model has none. */
    public static final String VERSION = "pearladder-version";

    // from a router to an engine
    public static final String ROUTER = "pearladder-router";
    public static final String CALL = "pearladder-call";
    public static final String LEG = "pearladder-leg";

    // from an engine, handed on to the client
    /** How the call met its copy: stood, load-begun, load-joined or load-failed. */
    public static final String COPY = "pearladder-copy";
    /** The engine's load report, see {@link LoadReport}. */
    public static final String REPORT = "pearladder-report";
    /** Calls of the same model that the engine held when this one came. */
    public static final String CROWD = "pearladder-crowd";
    /** "full" or "absent" on an answer that proves that the call never ran. */
    public static final String NEVER_RAN = "pearladder-never-ran";
    /** On the answer to a load order: copies that stand now. */
    public static final String COPIES = "pearladder-copies";

    private Headers() {}
}
