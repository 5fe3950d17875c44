package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How the requests of one source are distributed over lanes. */
class RequestDistributorTest {
    private static RequestSource countingSource(int count) {
        long[] made = {0};
        return () -> made[0] == count
                ? null
                : new RequestSource.ScheduledRequest(made[0] * 10, made[0]++, "draft", "", "m", "", 1, 1);
    }

    @Test
    void everyRequestIsGivenOnceAndInOrderWhicheverLaneAsks() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int lanes = 1 + random.nextInt(5);
            RequestDistributor distributor = new RequestDistributor(countingSource(200), lanes);
            List<List<Long>> received = new ArrayList<>();
            distributor.lanes().forEach(lane -> received.add(new ArrayList<>()));
            for (int i = 0; i < 3000; i++) {
                int lane = random.nextInt(lanes);
                RequestSource.ScheduledRequest drawn =
                        distributor.lanes().get(lane).next();
                if (drawn != null) {
                    received.get(lane).add(drawn.number());
                }
            }
            assertEquals(200, received.stream().mapToInt(List::size).sum());
            for (int lane = 0; lane < lanes; lane++) {
                int at = lane;
                assertEquals(received.get(lane).stream().sorted().toList(), received.get(lane));
                assertEquals(
                        0,
                        received.get(lane).stream()
                                .filter(number -> number % lanes != at)
                                .count());
                assertNull(distributor.lanes().get(lane).next());
            }
        }
    }
}
