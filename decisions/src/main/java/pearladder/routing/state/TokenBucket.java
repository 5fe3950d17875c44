package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;

/** A token bucket whose rate and size are given at each refill. */
public final class TokenBucket {
    private double tokens;
    private MonotonicTime refilledAt;

    /**
     * Adds the tokens gained since the last refill.
     *
     * @param tokensPerSecond the rate since the last refill
     * @param maxTokens the size of the bucket
     * @param initialTokens what the bucket holds after the first refill since its reset
     */
    public void refill(MonotonicTime now, double tokensPerSecond, double maxTokens, double initialTokens) {
        if (refilledAt == null) {
            tokens = initialTokens;
        } else {
            double gained = tokensPerSecond * now.since(refilledAt).toSeconds();
            tokens = Math.min(maxTokens, tokens + gained);
        }
        refilledAt = now;
    }

    /** Whether it holds a whole token. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes one token; the bucket may be overdrawn. */
    public void removeToken() {
        tokens -= 1;
    }

    /** Resets it: the next refill is the first. */
    public void reset() {
        refilledAt = null;
    }
}
