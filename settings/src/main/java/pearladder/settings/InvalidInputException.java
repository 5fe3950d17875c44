package pearladder.settings;

/** Thrown when an input line or document is invalid; the message names the line or document and the field. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message the position and the reason */
    public InvalidInputException(String message) {
        super(message);
    }
}
