package org.jacinthlink.decision.fleet

/** Engines of 80 layers on four kinds of accelerators. */
internal val TEST_ENGINE =
    EngineProfile(
        slots = 134,
        layerCount = 80,
        layerMb = 1_750.0,
        tokenBytes = 845_373.0,
        activationBytes = 42_268.0,
        loadS = 14.0,
        loadsAtOnce = 6,
        stepMs = 0.85,
        stepsPerPass = 2,
        prefillTokensPerS = 196_000.0,
        usualPromptTokens = 772,
        usualAnswerTokens = 174,
        accelerators =
        mapOf(
            "h100" to Accelerator(72_000.0, 1.4, 1.0),
            "a100s" to Accelerator(36_000.0, 3.1, 3.2),
            "l4" to Accelerator(21_600.0, 16.0, 8.2),
            "t4" to Accelerator(14_400.0, 15.0, 15.0)
        )
    )

/** Accelerators of a zone, by kind. */
internal val TEST_ZONES =
    mapOf(
        "a" to mapOf("h100" to 1, "a100s" to 1, "l4" to 5, "t4" to 7),
        "b" to mapOf("a100s" to 1, "l4" to 8, "t4" to 3),
        "c" to mapOf("a100s" to 2, "l4" to 4, "t4" to 7)
    )
