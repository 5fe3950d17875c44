package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FaultTypeTest {
    /** Fault names in scenario files and on the fault injection port; all must stay accepted. */
    private static final List<String> WORDS = List.of(
            "slow",
            "failing",
            "late-reports",
            "losing",
            "leak",
            "release",
            "hang",
            "misname",
            "garble",
            "drain",
            "kill",
            "restart",
            "replace",
            "pause",
            "cut-back",
            "cable-cut",
            "cable-deaf",
            "cable-reset",
            "shelf-slow",
            "shelf-refuse",
            "shelf-damage",
            "list-silent",
            "list-lag",
            "list-split",
            "list-cut");

    @Test
    void eachWordMapsToItsFaultTypeAndUnknownWordsToNone() {
        assertEquals(
                WORDS, Arrays.stream(FaultType.values()).map(FaultType::word).toList());
        for (FaultType type : FaultType.values()) {
            assertEquals(Optional.of(type), FaultType.of(type.word()));
        }
        assertEquals(Optional.empty(), FaultType.of("cable-lost"));
    }
}
