package pearladder.emulator.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/** What the emulated worker reads in the body of an inference request, and writes in that of its response. */
final class InferenceBody {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double NANOS_PER_MILLI = 1e6;

    private InferenceBody() {}

    /**
     * The work that a test client asks for in {@code parameters.work_ms}, which stands before the inputs.
     *
     * @return nanoseconds; 0 where none is asked for
     */
    static long workNanos(Buffer body) {
        try (JsonParser json = JSON.createParser(body.getBytes())) {
            JsonToken token;
            while ((token = json.nextToken()) != null) {
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("inputs")) {
                    return 0;
                }
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("work_ms")) {
                    json.nextToken();
                    return Math.round(json.getDoubleValue() * NANOS_PER_MILLI);
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    /** A response whose only output is the size of the request in bytes. */
    static String response(String model, int requestBytes) {
        return "{\"model_name\":\"" + model
                + "\",\"outputs\":[{\"name\":\"size\",\"datatype\":\"INT64\",\"shape\":[1],\"data\":["
                + requestBytes + "]}]}";
    }
}
