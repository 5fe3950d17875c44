package pearladder.router.kserve;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;

/**
 * An operator's client for rollouts. To change one, it reads the targets of all routers, derives the target that
 * follows the newest, and sends that to all of them. An unavailable router is reported; the command may be repeated.
 */
public final class RolloutClient {
    private static final long FIRST_EPOCH = 1;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> adminAddresses;
    private final String operator;
    private final AdminClient admin = new AdminClient();

    /**
     * The result of a command.
     *
     * @param acceptedCount targets that were accepted, each counted once for each router
     * @param requestedCount targets that should have been accepted, counted the same way
     * @param lines human-readable lines: one for each target and router, and one for each model without a valid target
     */
    public record RolloutResult(int acceptedCount, int requestedCount, List<String> lines) {}

    private interface ResponseFormatter {
        List<String> format(String address, JsonNode response);
    }

    private interface ResponseRequest {
        JsonNode send(String address) throws IOException;
    }

    /**
     * Creates a client.
     *
     * @param adminAddresses addresses of the routers' admin servers, as host:port
     * @param operator the name that is recorded with each change of a rollout
     */
    public RolloutClient(List<String> adminAddresses, String operator) {
        this.adminAddresses = adminAddresses;
        this.operator = operator;
    }

    /**
     * Returns a client for these routers and all peers from which they sync targets; the peers of an unavailable
     * router are left out.
     */
    public RolloutClient withPeers() {
        List<String> withPeers = new ArrayList<>(adminAddresses);
        for (String address : adminAddresses) {
            for (String peer : peers(address)) {
                if (!withPeers.contains(peer)) {
                    withPeers.add(peer);
                }
            }
        }
        return new RolloutClient(withPeers, operator);
    }

    private List<String> peers(String address) {
        List<String> peers = new ArrayList<>();
        try {
            admin.rollouts(address).path("others").forEach(peer -> peers.add(peer.asText()));
        } catch (IOException unavailable) {
            return List.of();
        }
        return peers;
    }

    /** Returns the state of every rollout at each router, as human-readable lines. */
    public List<String> status() {
        return formatEach(admin::rollouts, RolloutClient::formatStatus);
    }

    private static List<String> formatStatus(String address, JsonNode rollouts) {
        String prefix = address + " (" + rollouts.path("router").asText() + "): ";
        List<String> lines = new ArrayList<>();
        rollouts.path("status").forEach(status -> lines.add(prefix + status.asText()));
        if (lines.isEmpty()) {
            lines.add(prefix + "no release");
        }
        return lines;
    }

    /** Returns every target in the routers' journals, oldest first, as human-readable lines. */
    public List<String> history() {
        return formatEach(admin::history, RolloutClient::formatHistory);
    }

    private static List<String> formatHistory(String address, JsonNode history) {
        List<String> lines = new ArrayList<>();
        for (JsonNode target : history) {
            lines.add(address + ": " + formatTarget(target));
        }
        return lines;
    }

    private static String formatTarget(JsonNode target) {
        JsonNode plan = target.path("plan");
        return Instant.ofEpochMilli(target.path("wallMillis").asLong())
                + " " + target.path("by").asText()
                + " " + target.path("mode").asText().toLowerCase(Locale.ROOT)
                + " " + plan.path("model").asText()
                + " to " + plan.path("to").asText()
                + ", epoch " + target.path("epoch").asLong()
                + ", step " + target.path("step").asInt();
    }

    private List<String> formatEach(ResponseRequest request, ResponseFormatter formatter) {
        List<String> lines = new ArrayList<>();
        for (String address : adminAddresses) {
            try {
                lines.addAll(formatter.format(address, request.send(address)));
            } catch (IOException unavailable) {
                lines.add(address + ": no answer: " + unavailable.getMessage());
            }
        }
        return lines;
    }

    /** Starts a rollout of each plan at its first step. A plan from a version that is not in service is refused. */
    public RolloutResult start(List<RolloutPlan> plans) {
        Map<String, RolloutTarget> newestTargets = newestTargets();
        List<String> refusals = new ArrayList<>();
        List<RolloutTarget> targets = new ArrayList<>();
        for (RolloutPlan plan : plans) {
            RolloutTarget previous = newestTargets.get(plan.model());
            if (previous != null && !startsFromVersionInService(previous, plan)) {
                refusals.add(plan.model() + ": its calls get version \"" + versionInService(previous) + "\", not \""
                        + plan.from() + "\"; correct \"from\", or roll back the previous release");
            } else {
                targets.add(nextTarget(previous, plan, RolloutTarget.Mode.RUNNING, 0));
            }
        }
        return send(targets, refusals);
    }

    /**
     * Returns whether a plan starts from the version in service; otherwise all requests would go at once to a version
     * that no worker has loaded.
     */
    private static boolean startsFromVersionInService(RolloutTarget previous, RolloutPlan plan) {
        return versionInService(previous).equals(plan.from()) || previous.plan().equals(plan);
    }

    private static String versionInService(RolloutTarget target) {
        RolloutPlan plan = target.plan();
        return target.mode() == RolloutTarget.Mode.ROLLED_BACK ? plan.from() : plan.to();
    }

    /**
     * Changes the rollouts of some models.
     *
     * @param models names of the models; empty for every rollout
     * @param change derives the next target from the newest; the next target's epoch, operator and time are set here
     */
    public RolloutResult change(List<String> models, UnaryOperator<RolloutTarget> change) {
        Map<String, RolloutTarget> newestTargets = newestTargets();
        List<RolloutTarget> targets = new ArrayList<>();
        List<String> refusals = new ArrayList<>();
        for (String model : models.isEmpty() ? newestTargets.keySet() : models) {
            RolloutTarget previous = newestTargets.get(model);
            if (previous == null) {
                refusals.add(model + ": there is no release; start one");
            } else {
                RolloutTarget changed = change.apply(previous);
                targets.add(nextTarget(previous, changed.plan(), changed.mode(), changed.step()));
            }
        }
        return send(targets, refusals);
    }

    private RolloutTarget nextTarget(RolloutTarget previous, RolloutPlan plan, RolloutTarget.Mode mode, int step) {
        long epoch = previous == null ? FIRST_EPOCH : previous.epoch() + 1;
        return new RolloutTarget(epoch, plan, mode, step, operator, System.currentTimeMillis());
    }

    /** Returns the newest target of each model at any router; one that was unavailable may have an older target. */
    private Map<String, RolloutTarget> newestTargets() {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        for (String address : adminAddresses) {
            for (RolloutTarget target : targets(address)) {
                newest.merge(target.plan().model(), target, RolloutTarget::newer);
            }
        }
        return newest;
    }

    private List<RolloutTarget> targets(String address) {
        try {
            return JSON.convertValue(admin.rollouts(address).path("targets"), new TypeReference<>() {});
        } catch (IOException unavailable) {
            return List.of();
        }
    }

    /** Sends targets to all routers; the models refused here count as requested, once each. */
    private RolloutResult send(List<RolloutTarget> targets, List<String> refusals) {
        RolloutResult sent = send(targets);
        List<String> lines = new ArrayList<>(refusals);
        lines.addAll(sent.lines());
        return new RolloutResult(sent.acceptedCount(), sent.requestedCount() + refusals.size(), lines);
    }

    /** Sends targets to all routers at once, so that an unavailable router delays no other. */
    private RolloutResult send(List<RolloutTarget> targets) {
        if (targets.isEmpty()) {
            return new RolloutResult(0, 0, List.of());
        }
        String json = JSON.valueToTree(targets).toString();
        Map<String, CompletableFuture<HttpResponse<String>>> pending = new LinkedHashMap<>();
        for (String address : adminAddresses) {
            pending.put(address, admin.sendTargets(address, json));
        }
        List<String> lines = new ArrayList<>();
        int acceptedCount = 0;
        for (String address : pending.keySet()) {
            AdminClient.UpdateResponse response = AdminClient.awaitUpdate(pending.get(address));
            for (int i = 0; i < targets.size(); i++) {
                acceptedCount += response.isAccepted(i) ? 1 : 0;
                lines.add(formatResponse(address, targets.get(i), response, i));
            }
        }
        return new RolloutResult(acceptedCount, targets.size() * adminAddresses.size(), lines);
    }

    private static String formatResponse(
            String address, RolloutTarget target, AdminClient.UpdateResponse response, int index) {
        String prefix = address + ": " + target.plan().model() + " epoch " + target.epoch() + ": ";
        if (!response.received()) {
            return prefix + "no answer; it fetches the target from a peer when it is back, or repeat the command";
        }
        if (!response.isAccepted(index)) {
            return prefix + "refused: " + response.refusal(index);
        }
        return prefix + target.mode().name().toLowerCase(Locale.ROOT);
    }
}
