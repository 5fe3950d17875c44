package pearladder.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import pearladder.emulator.Observation;

/** Keeps all observations of a run in memory, with a digest by which two runs can be compared. */
final class ObservationRecorder implements Consumer<Observation> {
    /** 16 of the 64 hexadecimal digits of SHA-256 are reported. */
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

    /** Loads that ended. */
    long loads() {
        return loads;
    }

    /** Entries of endpoint lists that routers were sent. */
    long endpointsSent() {
        return endpointsSent;
    }

    /** The digest of all observations in order; to be asked for once, at the end. */
    String digest() {
        return HexFormat.of().formatHex(digest.digest()).substring(0, DIGEST_LENGTH);
    }
}
