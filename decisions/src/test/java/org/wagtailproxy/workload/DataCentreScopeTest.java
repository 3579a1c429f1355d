package org.wagtailproxy.workload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;

class DataCentreScopeTest {

    private static final DataCentre A = DataCentre.of("a");
    private static final DataCentre B = DataCentre.of("b");

    @Test
    void testUnionWithAllDataCentresIsAll() {
        DataCentreScope one = DataCentreScope.of(Set.of(A));
        assertThat(one.union(DataCentreScope.ALL), is(DataCentreScope.ALL));
        assertThat(DataCentreScope.ALL.union(one), is(DataCentreScope.ALL));
        assertThat(one.union(DataCentreScope.of(Set.of(B))), is(DataCentreScope.of(Set.of(A, B))));
    }

    @Test
    void testUnlistedServersAreInUnionAndNotInScopeOfListedOnes() {
        DataCentreScope one = DataCentreScope.of(Set.of(A));
        DataCentreScope unlisted = one.withUnlisted(true);
        assertThat(one.union(unlisted), is(unlisted));
        assertThat(unlisted.union(DataCentreScope.ALL).unlisted(), is(true));
        assertThat(DataCentreScope.ALL.containsAll(unlisted), is(false));
        assertThat(unlisted.containsAll(one), is(true));
    }

    @Test
    void testOnlyAllDataCentresContainUnknownOnes() {
        DataCentreScope one = DataCentreScope.of(Set.of(A));
        assertThat(one.containsAll(DataCentreScope.ALL), is(false));
        assertThat(one.containsAll(DataCentreScope.of(Set.of(B))), is(false));
        assertThat(one.containsAll(DataCentreScope.EMPTY), is(true));
        assertThat(one.containsAll(one), is(true));
        assertThat(DataCentreScope.ALL.containsAll(DataCentreScope.ALL), is(true));
    }
}
