package pearladder.settings;

/** An input line or document that the format doesn't allow; the message names the line or document and the field. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message where the input is invalid, and why */
    public InvalidInputException(String message) {
        super(message);
    }
}
