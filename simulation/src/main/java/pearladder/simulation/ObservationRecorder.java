package pearladder.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import pearladder.emulator.Observation;

/** Keeps all observations of a run in memory, and a digest of them for comparing runs. */
final class ObservationRecorder implements Consumer<Observation> {
    /** Number of reported hexadecimal digits, of the 64 of SHA-256. */
    private static final int DIGEST_LENGTH = 16;

    private final List<Observation> observations = new ArrayList<>();
    private final MessageDigest digest;
    private long loads;
    private long endpointsSent;

    ObservationRecorder() {
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void accept(Observation observation) {
        observations.add(observation);
        loads += observation.event().equals(Observation.LOAD_ENDED) ? 1 : 0;
        endpointsSent += observation.event().equals(Observation.ENDPOINT_SENT) ? 1 : 0;
        digest.update(canonicalText(observation).getBytes(StandardCharsets.UTF_8));
    }

    private static String canonicalText(Observation observation) {
        return observation.at() + " " + observation.event() + " " + observation.router() + " " + observation.requestId()
                + " "
                + observation.attempt() + " " + observation.worker() + " " + observation.model() + " "
                + observation.note() + " " + observation.value() + "\n";
    }

    List<Observation> observations() {
        return observations;
    }

    /** Returns the number of loads that ended. */
    long loads() {
        return loads;
    }

    /** Returns the number of endpoint-list entries sent to routers. */
    long endpointsSent() {
        return endpointsSent;
    }

    /** Returns the digest of all observations in order. May be called only once, at the end of the run. */
    String digest() {
        return HexFormat.of().formatHex(digest.digest()).substring(0, DIGEST_LENGTH);
    }
}
