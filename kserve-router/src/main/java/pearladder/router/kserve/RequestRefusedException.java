package pearladder.router.kserve;

/** A request can't be understood, or names what is not there; it is answered with an HTTP status and a message. */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;

    /** Without a stack trace, as a client can cause any number of them. */
    RequestRefusedException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
