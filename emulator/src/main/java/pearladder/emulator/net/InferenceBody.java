package pearladder.emulator.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/** Parses the bodies of inference requests and writes those of their responses. */
final class InferenceBody {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double NANOS_PER_MILLI = 1e6;

    private InferenceBody() {}

    /**
     * Parses the work that a test client requests in {@code parameters.work_ms}, which must precede the inputs.
     *
     * @return the work in nanoseconds; 0 if none is given
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

    /** Returns a response body whose only output is the size of the request in bytes. */
    static String response(String model, int requestBytes) {
        return "{\"model_name\":\"" + model
                + "\",\"outputs\":[{\"name\":\"size\",\"datatype\":\"INT64\",\"shape\":[1],\"data\":["
                + requestBytes + "]}]}";
    }
}
