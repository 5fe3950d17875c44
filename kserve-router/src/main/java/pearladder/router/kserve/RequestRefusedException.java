package pearladder.router.kserve;

/** Thrown for a request that is malformed or names something unknown; has the status and message of the response. */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;

    /** Creates an exception without a stack trace, since clients can cause any number of them. */
    RequestRefusedException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
