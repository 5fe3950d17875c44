package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which router a client is sent to while routers die and come back. */
class ClientLoadBalancerTest {
    @Test
    void keepsSendingToDeadRouterForTheLagThenToOthers() {
        ClientLoadBalancer loadBalancer = new ClientLoadBalancer(1000);
        loadBalancer.add("r1", "east", 1);
        loadBalancer.add("r2", "west", 2);
        assertEquals("r1", loadBalancer.next("east", 0).router());
        loadBalancer.markDead("r1", 100);
        assertEquals("r1", loadBalancer.next("east", 1099).router());
        assertEquals("r2", loadBalancer.next("east", 1100).router());
        loadBalancer.markAlive("r1");
        assertEquals("r1", loadBalancer.next("east", 1200).router());
        loadBalancer.markDead("r1", 0);
        loadBalancer.markDead("r2", 0);
        assertEquals(
                2,
                Stream.of(loadBalancer.next("west", 5000), loadBalancer.next("west", 5000))
                        .distinct()
                        .count(),
                "where all are dead it goes on feeding all");
    }
}
