package pearladder.emulator;

/** State of the required instance when a request arrived. The names appear in response headers. */
public enum InstanceState {
    /** An instance was ready. */
    STOOD,
    /** There was no instance, so the request started a load. */
    LOAD_BEGUN,
    /** The request waited for a load that was already under way. */
    LOAD_JOINED,
    /** The load that the request waited for failed. */
    LOAD_FAILED
}
