package pearladder.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the messages of a fake worker: RESP arrays of bulk strings. */
public final class WorkerWire {
    private WorkerWire() {}

    /**
     * Reads one complete command.
     *
     * @throws IOException also if the connection is closed
     */
    public static List<byte[]> readCommand(InputStream in) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        for (int remaining = length(in); remaining > 0; remaining--) {
            parts.add(in.readNBytes(length(in)));
            readLine(in);
        }
        return parts;
    }

    /** Returns a part of a command as text. */
    public static String text(byte[] part) {
        return new String(part, StandardCharsets.ISO_8859_1);
    }

    /** Returns a response with a body, which may be empty. */
    public static byte[] response(String id, String word, String fields, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes("*4\r\n".getBytes(StandardCharsets.ISO_8859_1));
        for (String part : List.of(id, word, fields)) {
            writePart(out, part.getBytes(StandardCharsets.ISO_8859_1));
        }
        writePart(out, body);
        return out.toByteArray();
    }

    private static void writePart(ByteArrayOutputStream out, byte[] part) {
        out.writeBytes(("$" + part.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(part);
        out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int length(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).substring(1));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new IOException("connection closed");
            }
            line.append(next == '\r' ? "" : Character.toString(next));
        }
        return line.toString();
    }
}
