package pearladder.settings;

/** A line that is not what the wire allows; the message names the line and the field. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
