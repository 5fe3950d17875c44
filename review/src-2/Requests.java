import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** The fields of a client's requests. */
final class Requests {
    private Requests() {}

    static Map<String, String> fields(Random random, String budgetMillis, long function) {
        String rid = String.format("%016x", random.nextLong());
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("rid", rid);
        fields.put("budget", budgetMillis);
        fields.put("acct", "tender");
        fields.put("token", "5c0f6e1a2b3d4c59" + rid);
        fields.put("obj", String.format("%016x", function));
        fields.put("extras", "memory_mb:300;lanes:4;load_ms:300");
        return fields;
    }
}
