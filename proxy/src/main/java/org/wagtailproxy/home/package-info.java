/**
 * Jobs at their home, the instance with authority over them: acceptance, ends (final results),
 * replicas of ends, hand-over of authority and lookup.
 *
 * <p>Each start of an instance is another incarnation. An incarnation has authority over the jobs
 * in the sessions that it issued. A seal in the key-value store ends this authority for good: the
 * incarnation is either lost, or has handed its jobs over to a successor. An end is replicated to
 * neighbours before it becomes visible, and is withheld while this instance may have been sealed.
 * If the home instance does not answer, the end of a job is looked up in the replicas. Once the
 * home is sealed as lost, a job without a replica has failed.
 */
package org.wagtailproxy.home;
