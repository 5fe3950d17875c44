package pearladder.emulator;

import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The environment that a worker shares with others.
 *
 * @param models maps a model's name to its kind, or to null if the model is unknown
 * @param idempotencyCache idempotency cache of the worker's group
 * @param observations receives all observations at the worker
 */
public record WorkerEnvironment(
        Timeline time,
        Function<String, ModelKind> models,
        ModelStore modelStore,
        IdempotencyCache idempotencyCache,
        Consumer<Observation> observations) {}
