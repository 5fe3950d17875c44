package pearladder.router.kserve;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * The names that a {@link PolicySnapshot} has in its JSON file. They are part of the file's format 1 and stay as
 * they are when a component of the snapshot is renamed. Each record here is a Jackson mix-in: its components are
 * those of the snapshot's record of the same shape.
 */
final class SnapshotJson {
    private SnapshotJson() {}

    /** Registers the names of the file's format with a mapper, and returns that mapper. */
    static ObjectMapper register(ObjectMapper mapper) {
        return mapper.addMixIn(PolicySnapshot.class, Snapshot.class)
                .addMixIn(PolicySnapshot.WorkerSnapshot.class, Worker.class)
                .addMixIn(PolicySnapshot.FunctionSnapshot.class, Function.class)
                .addMixIn(PolicySnapshot.InstanceSnapshot.class, Instance.class);
    }

    private record Snapshot(
            TimeSpan age,
            List<PolicySnapshot.WorkerSnapshot> workers,
            List<PolicySnapshot.FunctionSnapshot> functions,
            @JsonProperty("orders") List<TimeSpan> loadRequestAges,
            double loadSeconds,
            double loadCount) {}

    private record Worker(
            String worker, @JsonProperty("up") TimeSpan uptime, @JsonProperty("aside") TimeSpan ejectedFor) {}

    private record Function(
            String function,
            @JsonProperty("lanes") int concurrency,
            double memoryMb,
            @JsonProperty("usualLoad") TimeSpan typicalLoadTime,
            @JsonProperty("calls") double recentRequests,
            @JsonProperty("warmAnswers") double warmResponses,
            double warmSeconds,
            @JsonProperty("copies") List<PolicySnapshot.InstanceSnapshot> instances) {}

    private record Instance(
            String worker,
            int instances,
            @JsonProperty("untouched") TimeSpan sinceRenewed,
            @JsonProperty("listed") boolean cached) {}
}
