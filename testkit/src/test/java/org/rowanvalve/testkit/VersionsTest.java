package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Nodes of two versions in one network: one lacks the members that came last, the other says members unknown here. */
class VersionsTest {
    private static final ObjectMapper CBOR = new CBORMapper();
    private static final Map<String, List<String>> YOUNG = Map.of(
            "Renew",
            List.of("serial", "wishes"),
            "Give",
            List.of("want"),
            "Memory",
            List.of("lives", "age"),
            "Reread",
            List.of("sole"),
            "KeepRead",
            List.of("boot", "paged", "after", "era"),
            "Accept",
            List.of("next"));
    private static final Set<String> OLD = Set.of("st2", "sh3", "sh4", "ed1", "ed2", "ed3", "ed4");

    private static byte[] older(final NodeId from, final byte[] data) {
        try {
            final JsonNode all = CBOR.readTree(data);
            final ObjectNode msg = (ObjectNode) all.get("msg");
            if (OLD.contains(from.text())) {
                msg.remove(YOUNG.getOrDefault(msg.get("t").asText(), List.of()));
            } else {
                msg.putObject("later").put("member", 7);
                ((ObjectNode) all).put("unheard", "of");
            }
            return CBOR.writeValueAsBytes(all);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void twoVersionsKeepEveryRuleTogether(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed);
        cluster.net().word(VersionsTest::older);
        cluster.open();
        cluster.run(5000);
        cluster.kill("sh3", 2000);
        cluster.run(9000);
        cluster.kill(cluster.boss(), 3000);
        cluster.run(9000);
        cluster.kill("sh1", 1000);
        cluster.run(6000);
        final long asked = cluster.log().rows().stream()
                .filter(r -> "req".equals(r.get("log")))
                .count();
        final long done = cluster.log().rows().stream()
                .filter(r -> "req".equals(r.get("log")) && "done".equals(r.get("fate")))
                .count();
        assertTrue(done > asked * 0.9, done + " of " + asked);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertEquals(12, judge.verdicts().size());
    }
}
