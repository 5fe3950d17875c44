package pearladder.kserve;

/** The HTTP headers that carry what KServe v2 lacks. docs/protocol.md has a table with units and directions. */
public final class Headers {
    // from a client

    /** The client's tenant. */
    public static final String TENANT = "pearladder-account";
    /** The request class. */
    public static final String REQUEST_CLASS = "pearladder-category";
    /** How long the client waits for this attempt, in milliseconds. */
    public static final String TIMEOUT_MS = "pearladder-patience-ms";
    /** The idempotency key. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** Requests with the same key get the same version during a rollout: a document, a contract. */
    public static final String ROLLOUT_KEY = "pearladder-key";
    /** "1" where the client retries a request that it has sent before. */
    public static final String CLIENT_RETRY = "pearladder-repeat";
    /** The client's estimate of the work, in milliseconds on a standard core. */
    public static final String WORK_ESTIMATE_MS = "pearladder-hint-ms";

    // to a client

    /** One of the codes of {@link RequestOutcome}. */
    public static final String OUTCOME = "pearladder-state";
    /** When to retry, in milliseconds; beside the published Retry-After in whole seconds. */
    public static final String RETRY_AFTER_MS = "pearladder-retry-after-ms";
    /** The model's version that executed the request; absent where the model has none. */
    public static final String VERSION = "pearladder-version";

    // from a router to a worker

    /** The router's name. */
    public static final String ROUTER = "pearladder-router";
    /** The request's id; from a client and to it as well. */
    public static final String REQUEST_ID = "pearladder-call";
    /** The number of the attempt, from 0. */
    public static final String ATTEMPT = "pearladder-leg";

    // from a worker, passed on to the client

    /** Whether an instance was loaded: stood, load-begun, load-joined or load-failed. */
    public static final String INSTANCE_STATUS = "pearladder-copy";
    /** The worker's load report, see {@link LoadReport}. */
    public static final String LOAD_REPORT = "pearladder-report";
    /** Requests for the same model that the worker had when this one arrived. */
    public static final String CONCURRENT_REQUESTS = "pearladder-crowd";

    // from a worker to a router

    /** "full" or "absent" on a response that proves that the request was not executed. */
    public static final String NOT_EXECUTED = "pearladder-never-ran";
    /** On the response to a load request: instances that are loaded now. */
    public static final String INSTANCES = "pearladder-copies";

    private Headers() {}
}
