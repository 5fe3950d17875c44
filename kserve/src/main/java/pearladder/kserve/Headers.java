package pearladder.kserve;

/** HTTP headers that extend KServe v2. docs/protocol.md has a table with units and directions. */
public final class Headers {
    // from a client

    /** The client's tenant. */
    public static final String TENANT = "pearladder-account";
    /** The request class. */
    public static final String REQUEST_CLASS = "pearladder-category";
    /** The client's timeout for this attempt, in milliseconds. */
    public static final String TIMEOUT_MS = "pearladder-patience-ms";
    /** The idempotency key. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** Requests with the same key, such as a document or a contract, get the same version during a rollout. */
    public static final String ROLLOUT_KEY = "pearladder-key";
    /** "1" if the client retries a request that it has sent before. */
    public static final String CLIENT_RETRY = "pearladder-repeat";
    /** The client's estimate of the work, in milliseconds on a standard core. */
    public static final String WORK_ESTIMATE_MS = "pearladder-hint-ms";

    // to a client

    /** One of the codes of {@link RequestOutcome}. */
    public static final String OUTCOME = "pearladder-state";
    /** The delay before a retry, in milliseconds; sent in addition to the standard Retry-After in whole seconds. */
    public static final String RETRY_AFTER_MS = "pearladder-retry-after-ms";
    /** The model's version that executed the request; absent if the model has no versions. */
    public static final String VERSION = "pearladder-version";

    // from a router to a worker

    /** The router's name. */
    public static final String ROUTER = "pearladder-router";
    /** The request's id; also sent by clients and returned to them. */
    public static final String REQUEST_ID = "pearladder-call";
    /** The number of the attempt, from 0. */
    public static final String ATTEMPT = "pearladder-leg";

    // from a worker, forwarded to the client

    /** Whether an instance was loaded: stood, load-begun, load-joined or load-failed. */
    public static final String INSTANCE_STATUS = "pearladder-copy";
    /** The worker's load report, see {@link LoadReport}. */
    public static final String LOAD_REPORT = "pearladder-report";
    /** Number of requests for the same model that the worker had in flight when this one arrived. */
    public static final String CONCURRENT_REQUESTS = "pearladder-crowd";

    // from a worker to a router

    /** "full" or "absent" in a response that proves that the request was not executed. */
    public static final String NOT_EXECUTED = "pearladder-never-ran";
    /** In the response to a load request: number of instances that are loaded now. */
    public static final String INSTANCES = "pearladder-copies";

    private Headers() {}
}
