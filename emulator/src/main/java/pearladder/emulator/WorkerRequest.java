package pearladder.emulator;

/**
 * A request as it reaches a worker.
 *
 * @param router name of the router that sent it
 * @param requestId the client's id, the same for all attempts
 * @param attempt number of this attempt, from 0
 * @param model name of the model, its version included
 * @param idempotencyKey the idempotency key, or empty
 * @param workNanos work on a core of speed 1; 0 for the default of the model
 */
public record WorkerRequest(
        String router, String requestId, int attempt, String model, String idempotencyKey, long workNanos) {}
