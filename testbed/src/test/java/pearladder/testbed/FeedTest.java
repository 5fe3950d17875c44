package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FeedTest {
    private static RequestSource counting(int calls) {
        long[] made = {0};
        return () ->
                made[0] == calls ? null : new RequestSource.Drawn(made[0] * 10, made[0]++, "draft", "", "m", "", 1, 1);
    }

    @Test
    void everyCallIsDealtOnceAndInOrderWhoeverAsksFirst() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int lanes = 1 + random.nextInt(5);
            RequestFeed feed = new RequestFeed(counting(200), lanes);
            List<List<Long>> got = new ArrayList<>();
            feed.lanes().forEach(lane -> got.add(new ArrayList<>()));
            for (int i = 0; i < 3000; i++) {
                int lane = random.nextInt(lanes);
                RequestSource.Drawn drawn = feed.lanes().get(lane).next();
                if (drawn != null) {
                    got.get(lane).add(drawn.number());
                }
            }
            assertEquals(200, got.stream().mapToInt(List::size).sum());
            for (int lane = 0; lane < lanes; lane++) {
                int at = lane;
                assertEquals(got.get(lane).stream().sorted().toList(), got.get(lane));
                assertEquals(
                        0,
                        got.get(lane).stream()
                                .filter(number -> number % lanes != at)
                                .count());
                assertNull(feed.lanes().get(lane).next());
            }
        }
    }
}
