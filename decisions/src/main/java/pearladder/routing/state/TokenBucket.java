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
     * @param initialTokens the number of tokens after the first refill since the last reset
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

    /** Returns whether the bucket holds at least one token. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes one token; the bucket may be overdrawn. */
    public void removeToken() {
        tokens -= 1;
    }

    /** Resets the bucket, so that the next refill sets the initial tokens. */
    public void reset() {
        refilledAt = null;
    }
}
