package pearladder.terms;

/** A line that is not what the wire allows; the message names the line and the field. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
