package org.wagtailproxy.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConfigurationViewTest {

    private static final ResourceId ID = ResourceId.of(ResourceKind.TEAM, "quay");

    @Test
    void testOlderVersionDoesNotReplaceANewerOne() {
        ConfigurationView view = ConfigurationView.of();
        view.merge(Resource.of(ID, 7, "new"));
        assertThat(view.merge(Resource.of(ID, 6, "old")), is(false));
        assertThat(view.find(ID).get().document(), is("new"));
    }

    @Test
    void testSingleVersionDoesNotMakeTheViewComplete() {
        ConfigurationView view = ConfigurationView.of();
        view.merge(Resource.of(ID, 7, "new"));
        assertThat(view.completeVersion(), is(0L));
        assertThat(view.highestVersion(), is(7L));
    }

    @Test
    void testStaleCompleteReadChangesNothing() {
        ConfigurationView view = ConfigurationView.of();
        view.mergeComplete(List.of(Resource.of(ID, 7, "new")), 9);
        assertThat(view.mergeComplete(List.of(Resource.of(ID, 3, "old")), 4), is(empty()));
        assertThat(view.completeVersion(), is(9L));
    }

    /**
     * Guards against older versions that replace newer ones: views that exchange versions in any
     * order never go back and finally agree.
     */
    @Property(tries = 200, seed = "20261204")
    void testExchangedViewsNeverGoBackAndConverge(@ForAll long seed) {
        Random random = new Random(seed);
        List<ConfigurationView> views = new ArrayList<>();
        long[] seen = new long[4];
        for (int index = 0; index < 4; index++) {
            views.add(ConfigurationView.of());
        }
        for (long version = 1; version <= 60; version++) {
            views.get(random.nextInt(4)).merge(Resource.of(ID, version, "v" + version));
            ConfigurationView from = views.get(random.nextInt(4));
            views.get(random.nextInt(4)).mergeComplete(from.newerThan(random.nextInt(3)), 0);
            for (int index = 0; index < 4; index++) {
                long now = views.get(index).find(ID).map(Resource::version).getOrElse(0L);
                assertThat(now, is(greaterThanOrEqualTo(seen[index])));
                seen[index] = now;
            }
        }
        for (ConfigurationView from : views) {
            views.forEach(to -> to.mergeComplete(from.newerThan(0), 0));
        }
        views.forEach(view -> assertThat(view.find(ID).get().version(), is(60L)));
    }
}
