package pearladder.metering;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides an integer by weights into integer parts that sum exactly to it (largest remainder method, also called
 * Hamilton's method). Equal remainders are ordered by name, so that the result depends on nothing else.
 */
final class LargestRemainder {
    private record Remainder(String name, BigInteger value) {}

    private LargestRemainder() {}

    /**
     * Returns the part of each name.
     *
     * @param whole number to divide, not negative
     * @param weights weights by name; at least one, each above zero
     */
    static TreeMap<String, Long> divide(long whole, TreeMap<String, Long> weights) {
        BigInteger weightSum =
                weights.values().stream().map(BigInteger::valueOf).reduce(BigInteger.ZERO, BigInteger::add);
        TreeMap<String, Long> parts = new TreeMap<>();
        List<Remainder> remainders = new ArrayList<>();
        long divided = 0;
        for (Map.Entry<String, Long> weight : weights.entrySet()) {
            BigInteger[] quotientAndRemainder = BigInteger.valueOf(whole)
                    .multiply(BigInteger.valueOf(weight.getValue()))
                    .divideAndRemainder(weightSum);
            long part = quotientAndRemainder[0].longValueExact();
            parts.put(weight.getKey(), part);
            remainders.add(new Remainder(weight.getKey(), quotientAndRemainder[1]));
            divided += part;
        }
        remainders.sort(Comparator.comparing(Remainder::value).reversed().thenComparing(Remainder::name));
        for (int i = 0; divided < whole; i++, divided++) {
            parts.merge(remainders.get(i).name(), 1L, Long::sum);
        }
        return parts;
    }
}
