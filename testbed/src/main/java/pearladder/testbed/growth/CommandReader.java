package pearladder.testbed.growth;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads RESP arrays of bulk strings from a stream of bytes, as the routers under test write them. */
final class CommandReader {
    private byte[] unread = {};
    private int position;

    /** The commands that are complete with these bytes. */
    List<List<byte[]>> read(ByteBuffer input) {
        int kept = unread.length;
        unread = Arrays.copyOf(unread, kept + input.remaining());
        input.get(unread, kept, unread.length - kept);
        List<List<byte[]>> commands = new ArrayList<>();
        position = 0;
        int consumed = 0;
        List<byte[]> command;
        while ((command = readArray()) != null) {
            commands.add(command);
            consumed = position;
        }
        unread = Arrays.copyOfRange(unread, consumed, unread.length);
        return commands;
    }

    /** The next array; null where it is not complete. */
    private List<byte[]> readArray() {
        int length = readNumber('*');
        List<byte[]> array = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            int size = readNumber('$');
            if (size < 0 || position + size + 2 > unread.length) {
                return null;
            }
            array.add(Arrays.copyOfRange(unread, position, position + size));
            position += size + 2;
        }
        return length < 0 ? null : array;
    }

    /** The number on a line that starts with the mark; -1 where the line is not complete. */
    private int readNumber(char mark) {
        for (int end = position; end + 1 < unread.length; end++) {
            if (unread[end] == '\r') {
                if (unread[position] != mark) {
                    throw new IllegalStateException("the router wrote " + (char) unread[position] + " for " + mark);
                }
                String digits = new String(unread, position + 1, end - position - 1, StandardCharsets.ISO_8859_1);
                position = end + 2;
                return Integer.parseInt(digits);
            }
        }
        return -1;
    }

    /** The bytes of an array. */
    static byte[] array(byte[]... values) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("*" + values.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (byte[] value : values) {
            bytes.writeBytes(("$" + value.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(value);
            bytes.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toByteArray();
    }
}
