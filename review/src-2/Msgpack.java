import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of MessagePack that clients and routers use: integers, texts, bytes, arrays, maps, nil and booleans. */
final class Msgpack {
    private Msgpack() {}

    /** Encodes a request of a request class with its fields and body. */
    static byte[] request(long number, String method, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256 + body.length);
        out.write(0x94);
        out.write(0);
        integer(out, number);
        text(out, method);
        out.write(0x92);
        out.write(0x80 | fields.size());
        fields.forEach((name, value) -> {
            text(out, name);
            text(out, value);
        });
        out.write(0xc5);
        out.write(body.length >> 8);
        out.write(body.length);
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Encodes a readiness check. */
    static byte[] check(long number) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(0x94);
        out.write(0);
        integer(out, number);
        text(out, "check");
        out.write(0x91);
        out.write(0x80);
        return out.toByteArray();
    }

    private static void integer(ByteArrayOutputStream out, long value) {
        out.write(0xce);
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write((int) (value >> shift));
        }
    }

    private static void text(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(0xd9);
        out.write(bytes.length);
        out.writeBytes(bytes);
    }

    /** Reads one value; an array as a List, a map as a Map, bytes as byte[], nil as null. */
    static Object read(InputStream in) throws IOException {
        int code = readByte(in);
        if (code <= 0x7f) {
            return (long) code;
        }
        if (code >= 0xe0) {
            return (long) (byte) code;
        }
        if (code <= 0x8f) {
            return map(in, code & 0x0f);
        }
        if (code <= 0x9f) {
            return array(in, code & 0x0f);
        }
        if (code <= 0xbf) {
            return new String(bytes(in, code & 0x1f), StandardCharsets.UTF_8);
        }
        return switch (code) {
            case 0xc0 -> null;
            case 0xc2 -> Boolean.FALSE;
            case 0xc3 -> Boolean.TRUE;
            case 0xc4, 0xc5, 0xc6 -> bytes(in, (int) number(in, 1 << (code - 0xc4)));
            case 0xcc, 0xcd, 0xce, 0xcf -> number(in, 1 << (code - 0xcc));
            case 0xd0, 0xd1, 0xd2, 0xd3 -> number(in, 1 << (code - 0xd0));
            case 0xd9, 0xda, 0xdb -> new String(bytes(in, (int) number(in, 1 << (code - 0xd9))), StandardCharsets.UTF_8);
            case 0xdc, 0xdd -> array(in, (int) number(in, 2 << (code - 0xdc)));
            case 0xde, 0xdf -> map(in, (int) number(in, 2 << (code - 0xde)));
            default -> throw new IOException("MessagePack type " + code);
        };
    }

    private static Map<Object, Object> map(InputStream in, int entries) throws IOException {
        Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < entries; i++) {
            map.put(read(in), read(in));
        }
        return map;
    }

    private static List<Object> array(InputStream in, int elements) throws IOException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < elements; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static byte[] bytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    private static long number(InputStream in, int bytes) throws IOException {
        long number = 0;
        for (int i = 0; i < bytes; i++) {
            number = number << 8 | readByte(in);
        }
        return number;
    }

    private static int readByte(InputStream in) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException();
        }
        return next;
    }
}
