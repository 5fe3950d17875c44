package pearladder.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class LargestRemainderTest {
    @Test
    void ordersEqualRemaindersByName() {
        TreeMap<String, Long> weights = new TreeMap<>(Map.of("a", 1L, "b", 1L, "c", 1L));
        assertEquals(Map.of("a", 34L, "b", 33L, "c", 33L), LargestRemainder.divide(100, weights));
    }

    @Test
    void dividesIntoPartsThatSumToTheWhole() {
        Random random = new Random(3);
        for (int i = 0; i < 500; i++) {
            TreeMap<String, Long> weights = new TreeMap<>();
            for (int j = random.nextInt(9); j >= 0; j--) {
                weights.put("a" + j, 1 + random.nextLong(1L << (1 + random.nextInt(45))));
            }
            long whole = random.nextLong(1L << 50);
            TreeMap<String, Long> parts = LargestRemainder.divide(whole, weights);
            assertEquals(whole, parts.values().stream().mapToLong(part -> part).sum());
        }
    }
}
