import java.io.IOException;
import java.util.Map;
import java.util.Random;

/**
 * Bad clients in a process of their own: each keeps some requests open on one connection, and sends the same again as
 * soon as one is turned away. They send at full speed, read what they are sent, and stay within the open requests of
 * one connection. Ends with its standard input.
 */
final class BadClients {
    private static final int SENDERS = 16;

    private BadClients() {}

    /** @param arguments port, clients, open requests of each, bytes of a body, request class, milliseconds of a budget */
    public static void main(String[] arguments) throws Exception {
        int port = Integer.parseInt(arguments[0]);
        Client[] clients = new Client[Integer.parseInt(arguments[1])];
        int open = Integer.parseInt(arguments[2]);
        byte[] body = new byte[Integer.parseInt(arguments[3])];
        String requestClass = arguments[4];
        String budget = arguments[5];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Client(port);
        }
        for (int i = 0; i < SENDERS; i++) {
            int first = i;
            Cases.daemon("sender", () -> send(port, clients, first, open, body, requestClass, budget));
        }
        Cases.daemon("counts", () -> {
            while (true) {
                Thread.sleep(1000);
                System.out.println("bad clients: " + Client.SENT + " requests sent, " + Client.ANSWERED + " answers read");
            }
        });
        while (System.in.read() >= 0) {
            // until the parent closes it or ends
        }
        System.exit(0);
    }

    private static void send(
            int port, Client[] clients, int first, int open, byte[] body, String requestClass, String budget)
            throws Exception {
        Random random = new Random(first);
        while (true) {
            for (int i = first; i < clients.length; i += SENDERS) {
                try {
                    if (clients[i].closed) {
                        clients[i].close();
                        clients[i] = new Client(port);
                    }
                    Client client = clients[i];
                    for (int n = client.open(); n < open; n++) {
                        client.send(requestClass, fields(random, budget, client.answered() > 0), body);
                    }
                } catch (IOException closed) {
                    // connects again at the next round
                }
            }
            Thread.sleep(1);
        }
    }

    private static Map<String, String> fields(Random random, String budget, boolean again) {
        Map<String, String> fields = Requests.fields(random, budget, random.nextInt(60));
        if (again) {
            fields.put("again", "1");
        }
        return fields;
    }
}
