package org.wagtailproxy.job;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * Represents the SHA-256 digest of the canonical form of a job, by which a resubmission is
 * distinguished from another job.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record ContentDigest(String hex) {

    private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

    /** Validates the digest. */
    public ContentDigest {
        if (!HEX.matcher(hex).matches()) {
            throw new IllegalArgumentException("not a SHA-256 digest");
        }
    }

    /**
     * Computes the digest of a canonical form.
     *
     * @param canonical the bytes of the canonical form, not null
     * @return the digest, never null
     */
    public static ContentDigest of(byte[] canonical) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(canonical);
            return new ContentDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every JDK has SHA-256", missing);
        }
    }
}
