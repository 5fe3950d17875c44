package pearladder.emulator;

/** In which state a request found the instance that it needed. The names appear in response headers. */
public enum InstanceState {
    /** An instance was ready. */
    STOOD,
    /** None was there, so the request started a load. */
    LOAD_BEGUN,
    /** The request waited for a load that was already under way. */
    LOAD_JOINED,
    /** The load that the request waited for failed. */
    LOAD_FAILED
}
