package pearladder.cli.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes the messages of a client. */
final class ClientWire {
    private static final int FUNCTIONS = 8;

    private ClientWire() {}

    static MessageUnpacker reader(Socket socket) throws IOException {
        return MessagePack.newDefaultUnpacker(socket.getInputStream());
    }

    static byte[] check() throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4)
                    .packInt(0)
                    .packInt(1)
                    .packString("check")
                    .packArrayHeader(1)
                    .packMapHeader(0);
            return out.toByteArray();
        }
    }

    static byte[] interrupt(int number) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(3)
                    .packInt(2)
                    .packString("interrupt")
                    .packArrayHeader(1)
                    .packInt(number);
            return out.toByteArray();
        }
    }

    /** Returns whether clients send requests for the function. */
    static boolean isFunction(String id) {
        return id != null && id.matches("0{15}[0-" + (FUNCTIONS - 1) + "]");
    }

    /** Returns the idempotency key of the request with the given id. */
    static String key(String id) {
        return "k" + id;
    }

    static byte[] request(int number, String method, String id, long budgetMillis, byte[] body) throws IOException {
        Map<String, String> fields = new TreeMap<>(Map.of(
                "rid",
                id,
                "budget",
                Long.toString(budgetMillis),
                "acct",
                "tender",
                "token",
                key(id),
                "obj",
                String.format("%016x", Math.floorMod(id.hashCode(), FUNCTIONS)),
                "extras",
                "memory_mb:100;lanes:4;load_ms:50"));
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4).packInt(0).packInt(number).packString(method).packArrayHeader(2);
            out.packMapHeader(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                out.packString(field.getKey()).packString(field.getValue());
            }
            out.packBinaryHeader(body.length).writePayload(body);
            return out.toByteArray();
        }
    }
}
