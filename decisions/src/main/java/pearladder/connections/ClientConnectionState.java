package pearladder.connections;

import pearladder.routing.api.MonotonicTime;

/**
 * State of one client connection that {@link ConnectionManager} decides by. The owner of the socket keeps the fields up
 * to date, on the event loop; the manager only reads them. Instances are compared by identity.
 */
public final class ClientConnectionState {
    /** When the connection was accepted. */
    public final MonotonicTime connectedAt;
    /** When a complete message was last received or a response was last sent; null before the first of either. */
    public MonotonicTime lastMessageAt;
    /** When the first byte of a message that is still incomplete was received; null while there is no such message. */
    public MonotonicTime partialMessageSince;
    /** Time since which the client has not read what was sent to it; null while it reads. */
    public MonotonicTime notReadingSince;
    /** Number of messages received that could not be used. */
    public int unusableMessages;

    /** Number of requests that have not been answered yet. */
    public int openRequests;

    /** Creates the state of a connection that was accepted at the given time and has received nothing yet. */
    public ClientConnectionState(MonotonicTime connectedAt) {
        this.connectedAt = connectedAt;
    }
}
