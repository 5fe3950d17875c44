package pearladder.emulator;

import java.util.function.Consumer;
import java.util.function.Function;

/**
 * What a worker shares with others.
 *
 * @param models the kind of a model by the model's name, or null where the model is unknown
 * @param idempotencyCache that of the worker's group
 * @param observations receives all that is observed at the worker
 */
public record WorkerEnvironment(
        Timeline time,
        Function<String, ModelKind> models,
        ModelStore modelStore,
        IdempotencyCache idempotencyCache,
        Consumer<Observation> observations) {}
